//! Arguments that several commands take.

use clap::Arg;
use clap::ArgMatches;

/// Returns the value of a required argument.
pub(super) fn text<'a>(matches: &'a ArgMatches, name: &str) -> &'a str {
    matches.get_one::<String>(name).map_or("", String::as_str)
}

/// Returns the query `?data_centre=NAME` if the option is given, otherwise nothing.
pub(super) fn data_centre_query(matches: &ArgMatches) -> String {
    matches
        .get_one::<String>("data-centre")
        .map(|name| format!("?data_centre={name}"))
        .unwrap_or_default()
}

/// The option that names a data centre.
pub(super) fn data_centre_option() -> Arg {
    Arg::new("data-centre")
        .long("data-centre")
        .value_name("NAME")
        .help("Data centre; by default that of the entry")
}

/// The option that names a customer.
pub(super) fn customer_option() -> Arg {
    Arg::new("customer")
        .long("customer")
        .required(true)
        .value_name("NAME")
        .help("Name of the customer")
}

//! `beechctl token hash`: hashes a token from standard input, which keeps the token out of process lists.

use bh_protocol::Code;
use bh_protocol::Failure;
use bh_settings::token;
use clap::Command;
use std::io::Read;

pub fn command() -> Command {
    Command::new("hash")
        .about("Prints the SHA-256 of a token read from standard input, as the settings hold it")
        .after_help("Example:\n  printf %s \"$TOKEN\" | beechctl token hash")
}

pub fn run() -> Result<u8, Failure> {
    let mut text = String::new();
    std::io::stdin()
        .read_to_string(&mut text)
        .map_err(|error| Failure::new(Code::UnreadableFile, format!("standard input: {error}")))?;
    println!("{}", token::digest(text.trim_end_matches(['\r', '\n'])));
    Ok(0)
}

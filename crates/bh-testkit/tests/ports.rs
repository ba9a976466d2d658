//! Ports for processes under test.

use bh_testkit::ports;
use std::net::UdpSocket;

/// A soak runs beside the tests. Both choose ports, and start processes that listen on them a moment later: a port that was chosen must look taken to
/// the other one until then, or one of the processes finds its address in use and the test ends for nothing.
#[test]
fn a_port_that_was_given_out_is_marked_for_other_processes() {
    for address in ports::free(3) {
        assert!(UdpSocket::bind(address).is_err(), "{address}");
    }
}

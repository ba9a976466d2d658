//! Tests of the ports chosen for processes under test.

use bh_testkit::ports;
use std::net::UdpSocket;

/// A soak may run beside the tests. Both choose ports and start processes that listen on them a moment later. Until then a
/// chosen port must look occupied to the other, or one of the processes finds its address in use and the test fails without
/// a fault in the code.
#[test]
fn a_port_that_was_given_out_is_marked_for_other_processes() {
    for address in ports::free(3) {
        assert!(UdpSocket::bind(address).is_err(), "{address}");
    }
}

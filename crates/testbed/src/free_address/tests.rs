use super::*;

#[test]
fn chosen_port_is_reserved_before_a_program_has_bound_it() {
    let listen = free_address();
    assert!(UdpSocket::bind(listen).is_err());
    assert!(TcpListener::bind(listen).is_ok());
    let peer_listen = free_udp_address();
    assert!(TcpListener::bind(peer_listen).is_err());
    assert!(UdpSocket::bind(peer_listen).is_ok());
}

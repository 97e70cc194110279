//! The program on real sockets, between stand-ins for clients and engines that speak the published protocol
//! (crates/testbed).

mod clients;
mod endpoint_list;
mod engine_connections;
mod queries;
mod support;

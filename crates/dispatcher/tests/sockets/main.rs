//! The program on real sockets. Its clients and engines are stand-ins (crates/testbed) that speak the published
//! protocol.

mod clients;
mod endpoint_list;
mod engine_connections;
mod queries;
mod support;

//! The program on sockets, between clients and engines that stand in by the published protocol (crates/testbed).

mod clients;
mod endpoint_list;
mod engine_connections;
mod queries;
mod support;

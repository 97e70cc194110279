//! to come

//! HTTP towards callers, endpoints and operators: servers, clients, authentication and streaming.

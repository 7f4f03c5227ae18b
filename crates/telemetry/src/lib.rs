//! Logs and metrics, set up once for each process.

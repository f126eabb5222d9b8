//! Loading and checking settings files.

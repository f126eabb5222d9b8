//! The control replica: pure node and its input/output shell.

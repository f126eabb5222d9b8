//! Bundles: canonical form, digest, checks, sign-off.

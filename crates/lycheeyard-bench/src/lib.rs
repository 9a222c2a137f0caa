//! Load generator and policy experiments, for development only.

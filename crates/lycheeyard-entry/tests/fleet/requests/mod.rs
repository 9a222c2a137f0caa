mod call;
mod claims;
mod hostile;
mod leaving;

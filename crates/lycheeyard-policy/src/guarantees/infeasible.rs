use lycheeyard_protocol::{OrganisationId, Shape};
use std::fmt;

/// The smallest change found that lets all other guarantees stand.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SmallestChange {
    /// The organisation whose guarantee would change.
    pub organisation: OrganisationId,
    /// The guarantee as asked for.
    pub from: Shape,
    /// The shape that fits beside the others, or none when it has to go.
    pub to: Option<Shape>,
}

/// The guaranteed shapes that do not fit beside the others.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct InfeasibleGuarantees {
    /// The shapes, with the organisations that they are for.
    pub shapes: Vec<(OrganisationId, Shape)>,
    /// Whether it is certain that no arrangement holds them all.
    pub is_certain: bool,
    /// The least change that would make all fit, where one guarantee alone can.
    pub smallest_change: Option<SmallestChange>,
}

impl fmt::Display for SmallestChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            organisation,
            from,
            to,
        } = self;
        match to {
            Some(to) => write!(f, "{to} in place of {from} for {organisation} would fit"),
            None => write!(f, "without {from} for {organisation} the others fit"),
        }
    }
}

impl fmt::Display for InfeasibleGuarantees {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, (organisation, shape)) in self.shapes.iter().enumerate() {
            let separator = if index == 0 { "" } else { ", " };
            write!(f, "{separator}{shape} of {organisation}")?;
        }
        if !self.is_certain {
            f.write_str(" (no arrangement found, not all tried)")?;
        }
        match &self.smallest_change {
            Some(change) => write!(f, "; {change}"),
            None => Ok(()),
        }
    }
}

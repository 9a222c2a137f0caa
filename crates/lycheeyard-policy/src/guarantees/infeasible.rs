use lycheeyard_protocol::{OrganisationId, Shape};
use std::fmt;

/// The smallest change of one guarantee found that leaves all others as requested.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SmallestChange {
    /// The organisation whose guarantee would change.
    pub organisation: OrganisationId,
    /// The guarantee as requested.
    pub from: Shape,
    /// The shape that fits with the others, or `None` if the guarantee has to be dropped.
    pub to: Option<Shape>,
}

/// Guarantees that do not all fit into a data centre at once.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct InfeasibleGuarantees {
    /// The shapes that could not be placed, with their organisations.
    pub shapes: Vec<(OrganisationId, Shape)>,
    /// Whether it is proven that no arrangement fits all guarantees.
    pub is_certain: bool,
    /// The smallest change that would make all fit, if changing a single guarantee is enough.
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

//! Detection of point lookups: queries that select rows by a column's value.

use sqlparser::ast::{BinaryOperator, Expr, InTarget, Query, SetExpr};

/// Whether the outermost query requires a column to equal a literal, or one of a list of literals, for every row.
pub(super) fn is_point_lookup(query: &Query) -> bool {
    let mut body = &*query.body;
    while let SetExpr::Query(inner) = body {
        body = &inner.body;
    }
    let SetExpr::Select(select) = body else {
        return false;
    };
    let mut is_point_lookup = false;
    let mut remaining = select.selection.as_ref();
    // AND is left-associative: a AND b AND c is (a AND b) AND c.
    while let Some(condition) = remaining {
        match condition {
            Expr::BinaryOp {
                left,
                op: BinaryOperator::And,
                right,
            } => {
                is_point_lookup |= is_point_condition(right);
                remaining = Some(left);
            }
            Expr::Nested(inner) => remaining = Some(inner),
            other => {
                is_point_lookup |= is_point_condition(other);
                remaining = None;
            }
        }
    }
    is_point_lookup
}

fn is_point_condition(condition: &Expr) -> bool {
    match condition {
        Expr::Nested(inner) => is_point_condition(inner),
        Expr::BinaryOp {
            left,
            op: BinaryOperator::Eq,
            right,
        } => is_column(left) && is_literal(right) || is_literal(left) && is_column(right),
        Expr::In {
            expr,
            target: InTarget::List(list),
            negated,
            ..
        } => !negated && is_column(expr) && list.iter().all(is_literal),
        _ => false,
    }
}

fn is_column(expr: &Expr) -> bool {
    matches!(expr, Expr::Identifier(_) | Expr::CompoundIdentifier(_))
}

fn is_literal(expr: &Expr) -> bool {
    matches!(expr, Expr::Value(_) | Expr::TypedString(_))
}

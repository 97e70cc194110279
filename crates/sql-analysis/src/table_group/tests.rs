//! Tests of the table group of a statement.

use super::*;

#[test]
fn table_group_is_the_number_in_the_name_of_the_schema() {
    let cases: [(&str, Option<u32>); 14] = [
        (
            "SELECT day, count(*) FROM sales_17.orders WHERE tag = '3f9c' GROUP BY day",
            Some(17),
        ),
        (
            "select 'from sales_3.x', a.b_2 from \"sales_18\".\"or\"\"ders\" a",
            Some(18),
        ),
        (
            "-- from sales_1.x\nSELECT /* from sales_2.x */ 1 FROM s_19 . t",
            Some(19),
        ),
        (
            "INSERT INTO sales_20.orders SELECT * FROM staging.orders_9",
            Some(20),
        ),
        (
            "INSERT INTO staging.orders_9 SELECT * FROM sales_21.orders",
            Some(21),
        ),
        ("SELECT t_4.x FROM staging.y t_4, sales_22.orders", Some(22)),
        (
            "SELECT 'it''s from sales_1.x' FROM cat.sales_23.orders",
            Some(23),
        ),
        ("UPDATE sales_24.o SET a = 1", Some(24)),
        (
            "SELECT * FROM (SELECT 1 FROM sales_25.o) x JOIN staging.o_1 y ON 1 = 1",
            Some(25),
        ),
        ("CALL sales_26.refresh()", Some(26)),
        ("SELECT 1 FROM orders_7", None),
        ("SELECT '", None),
        ("/* sales_1.x", None),
        ("SELECT * FROM sales_99999999999.o", None),
    ];
    for (statement, group) in cases {
        assert_eq!(table_group(statement.as_bytes()), group, "{statement}");
    }
}

#[test]
fn arbitrary_bytes_never_panic() {
    let whole = b"SELECT \"a_1\".b, 'x''y' FROM /* c */ s_17.o -- d\n, \xff_2.q";
    for from in 0..whole.len() {
        for to in from..=whole.len() {
            table_group(&whole[from..to]);
        }
    }
}

//! Macro for the derives of plain data types.

/// Declares data types that derive `Debug`, `Clone`, `PartialEq`, `Serialize` and `Deserialize`.
///
/// ```
/// celerytide_types::data! {
///     /// A point on a line.
///     pub struct Point {
///         /// Distance from the origin.
///         pub x: u32,
///     }
/// }
/// assert_eq!(Point { x: 1 }.clone(), Point { x: 1 });
/// ```
///
/// The calling crate must depend on `serde` with its `derive` feature.
#[macro_export]
macro_rules! data {
    ($($item:item)*) => {
        $(
            #[derive(Debug, Clone, PartialEq, ::serde::Serialize, ::serde::Deserialize)]
            $item
        )*
    };
}

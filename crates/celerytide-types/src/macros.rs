//! The common set of derives.

/// Declares plain data with the project's common derives: `Debug`, `Clone`, `PartialEq`, serde both ways.
///
/// ```
/// celerytide_types::data! {
///     /// A point.
///     pub struct Point {
///         /// Abscissa.
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

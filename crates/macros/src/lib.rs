//! Attribute macro for the derive sets that most types share.
//!
//! `#[data(key)]` marks small `Copy` identifiers, `#[data(value)]` other
//! serializable data, and `#[data(plain)]` data that never leaves the process.
//! A named set keeps the lists of derives identical across the workspace.

use proc_macro::TokenStream;

const KEY_DERIVES: &str = "#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, \
                   ::serde::Serialize, ::serde::Deserialize)]";
const VALUE_DERIVES: &str =
    "#[derive(Clone, Debug, PartialEq, Eq, ::serde::Serialize, ::serde::Deserialize)]";
const PLAIN_DERIVES: &str = "#[derive(Clone, Debug, PartialEq)]";

/// Adds the derive set named by the argument: `key`, `value` or `plain`.
///
/// Any other argument is a compile error.
#[proc_macro_attribute]
pub fn data(set: TokenStream, item: TokenStream) -> TokenStream {
    let derives = match set.to_string().as_str() {
        "key" => KEY_DERIVES,
        "value" => VALUE_DERIVES,
        "plain" => PLAIN_DERIVES,
        _ => "::core::compile_error!(\"expected `key`, `value` or `plain`\");",
    };
    let mut output: TokenStream = derives.parse().expect("derive set is valid Rust");
    output.extend(item);
    output
}

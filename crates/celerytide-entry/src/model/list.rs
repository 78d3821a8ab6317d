//! The model list of `GET /v1/models`.

use bytes::Bytes;
use celerytide_manifest::Manifest;
use celerytide_types::data;

data! {
    struct List {
        object: String,
        data: Vec<Model>,
    }

    struct Model {
        id: String,
        object: String,
        created: u64,
        owned_by: String,
    }
}

/// All models of the manifest as a JSON list.
pub fn list(manifest: &Manifest) -> Bytes {
    let data = manifest
        .services
        .iter()
        .flat_map(|s| s.models.iter().map(|m| model(m, &s.id)))
        .collect();
    let list = List {
        object: String::from("list"),
        data,
    };
    Bytes::from(serde_json::to_vec(&list).unwrap_or_default())
}

fn model(id: &str, service: &str) -> Model {
    Model {
        id: id.to_owned(),
        object: String::from("model"),
        created: 0,
        owned_by: service.to_owned(),
    }
}

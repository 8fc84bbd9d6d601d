#pragma once

#include "Rattandeck/objects.h"
#include "Rattandeck/policy.h"
#include "RattandeckApp/settings.h"

#include <tl/expected.hpp>

#include <string>
#include <variant>
#include <vector>

/// A configuration object from a file that an operator has written:
///
///     [[object]]
///     kind = "policy"
///     name = "gate-desks"
///     version = 12            # as last read; absent when the object is new
///     [object.spec]
///     programs = "organisation=gate"
struct FileObject {
    Rattandeck::ObjectKey key;
    /// 0 if the file gives no version.
    Rattandeck::ObjectVersion version;
    /// The spec as JSON text.
    std::string value;
    RattandeckApp::SourcePosition position;
};

/// An object that the daemons would reject.
struct InvalidObject {
    RattandeckApp::SourcePosition position;
    Rattandeck::ObjectKey key;
    Rattandeck::PolicyError error;
};
using FileError = std::variant<RattandeckApp::SettingsError, InvalidObject>;

std::string describe(const FileError& error);

/// Reads and validates a file. Returns either all objects or all errors.
tl::expected<std::vector<FileObject>, std::vector<FileError>> readObjectFile(const std::string& path);

/// Formats an object, including its version, as accepted by `readObjectFile`.
std::string formatObject(const Rattandeck::StoredObject& object);

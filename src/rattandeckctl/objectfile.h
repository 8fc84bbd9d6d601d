#pragma once

#include "Rattandeck/objects.h"
#include "Rattandeck/policy.h"
#include "RattandeckApp/settings.h"

#include <tl/expected.hpp>

#include <string>
#include <variant>
#include <vector>

/// Configuration objects in a file, as operators write them:
///
///     [[object]]
///     kind = "policy"
///     name = "gate-desks"
///     version = 12            # as last read; absent when the object is new
///     [object.spec]
///     programs = "organisation=gate"
struct FileObject {
    Rattandeck::ObjectKey key;
    /// 0 when the file names no version.
    Rattandeck::ObjectVersion version;
    /// The spec as JSON text.
    std::string value;
    RattandeckApp::SourcePosition position;
};

/// An object that the processes would not accept.
struct InvalidObject {
    RattandeckApp::SourcePosition position;
    Rattandeck::ObjectKey key;
    Rattandeck::PolicyError error;
};
using FileError = std::variant<RattandeckApp::SettingsError, InvalidObject>;

std::string describe(const FileError& error);

/// Reads and checks a whole file: either every object, or all errors.
tl::expected<std::vector<FileObject>, std::vector<FileError>> readObjectFile(const std::string& path);

/// Writes an object in the form that `readObjectFile` reads, with its version.
std::string formatObject(const Rattandeck::StoredObject& object);

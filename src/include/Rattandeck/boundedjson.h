#pragma once

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace Rattandeck {

/// What becomes of a value that is nested too deeply.
enum class DeepValue {
    /// The document is rejected.
    Reject,
    /// Null stands in its place.
    Null,
};

/// Builds a document as the library's own handler does, but bounds its nesting, since the library copies, writes and
/// destroys values recursively, and does not allocate by announced lengths. For `nlohmann::json::sax_parse`.
///
/// Thread safety: not synchronised.
class BoundedJsonHandler : public nlohmann::json_sax<nlohmann::json> {
public:
    using Json = nlohmann::json;

    /// `target` receives the document, of at most `maxDepth` levels. Precondition: it outlives the handler.
    BoundedJsonHandler(Json& target, std::size_t maxDepth, DeepValue deepValue);

    bool null() override { return this->add(nullptr); }
    bool boolean(bool value) override { return this->add(value); }
    bool number_integer(number_integer_t value) override { return this->add(value); }
    bool number_unsigned(number_unsigned_t value) override { return this->add(value); }
    bool number_float(number_float_t value, const string_t& /*text*/) override { return this->add(value); }
    bool string(string_t& value) override { return this->add(std::move(value)); }
    /// No known field is binary; such a field of a later version is ignored like any unknown field.
    bool binary(binary_t& /*value*/) override { return this->add(nullptr); }
    bool start_object(std::size_t /*size*/) override { return this->open(Json::object()); }
    bool start_array(std::size_t /*size*/) override { return this->open(Json::array()); }
    bool end_object() override { return this->close(); }
    bool end_array() override { return this->close(); }
    bool key(string_t& value) override;
    bool parse_error(std::size_t /*at*/, const std::string& /*token*/, const nlohmann::detail::exception&) override
    {
        return false;
    }

private:
    Json* place(Json&& value);
    bool add(Json value);
    bool open(Json container);
    bool close();

    Json& root;
    std::size_t maxDepth;
    DeepValue deepValue;
    std::vector<Json*> path;
    /// Open levels of the value that is being left out.
    std::size_t skippedLevels = 0;
    std::string pendingKey;
};

}

#include "src/base/JsonText.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace pimentostage {

namespace {

constexpr std::string_view kSpace = " \t\r\n";

/// Reads a text from one value to the next; looks only at quotation marks, brackets and commas.
class Scanner
{
public:
    explicit Scanner(std::string_view text)
        : text_(text)
    { }

    /// Skips white space and, if it follows, @p expected.
    /// @return whether @p expected followed.
    bool accept(char expected)
    {
        skipSpace();
        const bool follows = at_ < text_.size() && text_[at_] == expected;
        at_ += follows ? 1 : 0;
        return follows;
    }

    /// @return whether only white space follows.
    bool isAtEnd()
    {
        skipSpace();
        return at_ == text_.size();
    }

    /// Reads a string.
    /// @return the text between the quotation marks, or nothing if no complete string follows.
    std::optional<std::string_view> readString()
    {
        if (!accept('"'))
            return std::nullopt;
        const std::size_t begin = at_;
        while (at_ < text_.size() && text_[at_] != '"')
            at_ += text_[at_] == '\\' ? 2 : 1;
        if (at_ >= text_.size())
            return std::nullopt;
        return text_.substr(begin, at_++ - begin);
    }

    /// Reads up to the comma or the bracket that ends a value.
    /// @return the text of the value, or nothing if it is empty or incomplete.
    std::optional<std::string_view> readValue()
    {
        skipSpace();
        const std::size_t begin = at_;
        std::size_t depth = 0;
        while (at_ < text_.size()) {
            const char next = text_[at_];
            if (next == '"') {
                if (!readString())
                    return std::nullopt;
                continue;
            }
            const bool closes = next == ']' || next == '}';
            if (depth == 0 && (closes || next == ','))
                break;
            depth += next == '[' || next == '{' ? 1 : 0;
            depth -= closes ? 1 : 0;
            maxDepth_ = std::max(maxDepth_, depth);
            ++at_;
        }
        if (depth > 0 || at_ == begin)
            return std::nullopt;
        return text_.substr(begin, at_ - begin);
    }

    /// @return the deepest nesting of the values read.
    [[nodiscard]] std::size_t maxDepth() const { return maxDepth_; }

private:
    void skipSpace() { at_ = std::min(text_.find_first_not_of(kSpace, at_), text_.size()); }

    const std::string_view text_;
    std::size_t at_ = 0;
    std::size_t maxDepth_ = 0;
};

} // namespace

std::optional<nlohmann::json> parseJson(std::string_view text)
{
    Scanner scanner(text);
    if (!scanner.readValue() || scanner.maxDepth() > kMaxJsonDepth)
        return std::nullopt;
    nlohmann::json json = nlohmann::json::parse(text, nullptr, false);
    if (json.is_discarded())
        return std::nullopt;
    return json;
}

std::optional<JsonMembers> splitJsonObject(std::string_view text)
{
    Scanner scanner(text);
    if (!scanner.accept('{'))
        return std::nullopt;
    JsonMembers members;
    bool isFirst = true;
    while (!scanner.accept('}')) {
        if (!isFirst && !scanner.accept(','))
            return std::nullopt;
        isFirst = false;
        const auto name = scanner.readString();
        const auto value = name && scanner.accept(':') ? scanner.readValue() : std::nullopt;
        if (!value)
            return std::nullopt;
        members.insert_or_assign(*name, *value);
    }
    return scanner.isAtEnd() ? std::optional(std::move(members)) : std::nullopt;
}

std::optional<std::vector<std::string_view>> splitJsonArray(std::string_view text)
{
    Scanner scanner(text);
    if (!scanner.accept('['))
        return std::nullopt;
    std::vector<std::string_view> elements;
    while (!scanner.accept(']')) {
        if (!elements.empty() && !scanner.accept(','))
            return std::nullopt;
        const auto element = scanner.readValue();
        if (!element)
            return std::nullopt;
        elements.push_back(*element);
    }
    return scanner.isAtEnd() ? std::optional(std::move(elements)) : std::nullopt;
}

std::optional<nlohmann::json> parseJsonMember(const JsonMembers &members, std::string_view name)
{
    const auto found = members.find(name);
    return found == members.end() ? std::nullopt : parseJson(found->second);
}

} // namespace pimentostage

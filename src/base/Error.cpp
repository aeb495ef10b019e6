#include "pimentostage/base/Error.h"

#include <utility>

namespace pimentostage {

std::string Error::describe() const
{
    std::string text(toString(step_));
    text += ": ";
    text += toString(peer_.kind_);
    if (!peer_.name_.empty())
        text += ' ' + peer_.name_;
    text += ": ";
    text += toString(code_);
    if (!detail_.empty())
        text += ": " + detail_;
    return text;
}

leaf::error_id fail(Error error)
{
    return leaf::new_error(std::move(error));
}

} // namespace pimentostage

#pragma once

#include "pimentostage/platform/Configuration.h"
#include "pimentostage/sibling/TokenPurse.h"

#include <map>
#include <memory>

namespace pimentostage {

/// This host's purses, one for each team's contract. Lives on the control thread.
class PurseBook
{
public:
    using Purses = std::map<TeamName, std::shared_ptr<TokenPurse>>;

    /// Adds purses for new contracts and drops those of contracts withdrawn.
    void update(const Configuration &configuration);

    [[nodiscard]] const Purses &purses() const { return purses_; }

    /// @return the purse of @p account, or nullptr.
    [[nodiscard]] TokenPurse *find(const AccountName &account) const;

    /// @return the account that bounds the requests of @p team.
    static AccountName accountOf(const TeamName &team);

private:
    Purses purses_;
    std::map<AccountName, TokenPurse *> byAccount_;
};

} // namespace pimentostage

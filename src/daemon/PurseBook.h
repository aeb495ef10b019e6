#pragma once

#include "pimentostage/platform/Configuration.h"
#include "pimentostage/sibling/TokenPurse.h"

#include <map>
#include <memory>

namespace pimentostage {

/// This host's token buckets, one for each team's contract. Used only on the control thread.
class PurseBook
{
public:
    using TokenBuckets = std::map<TeamName, std::shared_ptr<TokenPurse>>;

    /// Adds token buckets for new contracts and removes those of withdrawn contracts.
    void update(const Configuration &configuration);

    [[nodiscard]] const TokenBuckets &purses() const { return purses_; }

    /// @return the token bucket of @p account, or nullptr.
    [[nodiscard]] TokenPurse *find(const AccountName &account) const;

    /// @return the account that limits the request rate of @p team.
    static AccountName accountOf(const TeamName &team);

private:
    TokenBuckets purses_;
    std::map<AccountName, TokenPurse *> byAccount_;
};

} // namespace pimentostage

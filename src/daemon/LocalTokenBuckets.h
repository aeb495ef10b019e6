#pragma once

#include "pimentostage/platform/Configuration.h"
#include "pimentostage/sibling/LocalTokenBucket.h"

#include <map>
#include <memory>

namespace pimentostage {

/// This host's token buckets, one for each team's contract. Used only on the control thread.
class LocalTokenBuckets
{
public:
    using TokenBuckets = std::map<TeamName, std::shared_ptr<LocalTokenBucket>>;

    /// Adds token buckets for new contracts and removes those of withdrawn contracts.
    void update(const Configuration &configuration);

    [[nodiscard]] const TokenBuckets &tokenBuckets() const { return tokenBuckets_; }

    /// @return the token bucket of @p account, or nullptr.
    [[nodiscard]] LocalTokenBucket *find(const AccountName &account) const;

    /// @return the account that limits the request rate of @p team.
    static AccountName accountOf(const TeamName &team);

private:
    TokenBuckets tokenBuckets_;
    std::map<AccountName, LocalTokenBucket *> byAccount_;
};

} // namespace pimentostage

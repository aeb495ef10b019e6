#include "src/daemon/LocalTokenBuckets.h"

namespace pimentostage {

AccountName LocalTokenBuckets::accountOf(const TeamName &team)
{
    return AccountName("team/" + team.str());
}

void LocalTokenBuckets::update(const Configuration &configuration)
{
    std::erase_if(tokenBuckets_, [&](const auto &entry) {
        const bool isWithdrawn = !configuration.contracts_.contains(entry.first);
        if (!isWithdrawn)
            return false;
        byAccount_.erase(accountOf(entry.first));
        // Requests that wait for tokens keep the bucket alive, and nothing else completes them.
        entry.second->close();
        return true;
    });
    for (const auto &[team, contract] : configuration.contracts_) {
        std::shared_ptr<LocalTokenBucket> &bucket = tokenBuckets_[team];
        if (bucket)
            continue;
        bucket = std::make_shared<LocalTokenBucket>(accountOf(team));
        byAccount_[bucket->account()] = bucket.get();
    }
}

LocalTokenBucket *LocalTokenBuckets::find(const AccountName &account) const
{
    const auto found = byAccount_.find(account);
    return found == byAccount_.end() ? nullptr : found->second;
}

} // namespace pimentostage

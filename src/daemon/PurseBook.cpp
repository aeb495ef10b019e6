#include "src/daemon/PurseBook.h"

namespace pimentostage {

AccountName PurseBook::accountOf(const TeamName &team)
{
    return AccountName("team/" + team.str());
}

void PurseBook::update(const Configuration &configuration)
{
    std::erase_if(purses_, [&](const auto &entry) {
        const bool isWithdrawn = !configuration.contracts_.contains(entry.first);
        if (isWithdrawn)
            byAccount_.erase(accountOf(entry.first));
        return isWithdrawn;
    });
    for (const auto &[team, contract] : configuration.contracts_) {
        std::shared_ptr<TokenPurse> &bucket = purses_[team];
        if (bucket)
            continue;
        bucket = std::make_shared<TokenPurse>(accountOf(team));
        byAccount_[bucket->account()] = bucket.get();
    }
}

TokenPurse *PurseBook::find(const AccountName &account) const
{
    const auto found = byAccount_.find(account);
    return found == byAccount_.end() ? nullptr : found->second;
}

} // namespace pimentostage

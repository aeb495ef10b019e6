#include "pimentostage/caller/ConnectionLimits.h"

namespace pimentostage {

struct ConnectionLimits::Counts
{
    explicit Counts(std::size_t maxOpen)
        : maxOpen_(maxOpen)
    { }

    const std::size_t maxOpen_;
    std::mutex mutex_;
    std::size_t open_ = 0;
    std::map<TeamName, std::size_t> byTeam_;
};

ConnectionLimits::ConnectionLimits(std::size_t maxOpen)
    : counts_(std::make_shared<Counts>(maxOpen))
{ }

std::shared_ptr<CallerConnection> ConnectionLimits::open()
{
    const std::lock_guard lock(counts_->mutex_);
    ++counts_->open_;
    return std::make_shared<CallerConnection>(counts_, counts_->open_ <= counts_->maxOpen_);
}

std::size_t ConnectionLimits::openCount() const
{
    const std::lock_guard lock(counts_->mutex_);
    return counts_->open_;
}

CallerConnection::CallerConnection(std::shared_ptr<ConnectionLimits::Counts> counts,
                                   bool isWithinLimit)
    : counts_(std::move(counts))
    , isWithinLimit_(isWithinLimit)
{ }

CallerConnection::~CallerConnection()
{
    const std::lock_guard lock(counts_->mutex_);
    --counts_->open_;
    unbind();
}

bool CallerConnection::bind(const TeamName &team, std::size_t maxConnections)
{
    if (team == team_)
        return true;
    const std::lock_guard lock(counts_->mutex_);
    const auto found = counts_->byTeam_.find(team);
    const std::size_t open = found == counts_->byTeam_.end() ? 0 : found->second;
    if (open >= maxConnections)
        return false;
    unbind();
    team_ = team;
    ++counts_->byTeam_[team];
    return true;
}

void CallerConnection::unbind()
{
    if (team_.isEmpty())
        return;
    const auto found = counts_->byTeam_.find(team_);
    if (--found->second == 0)
        counts_->byTeam_.erase(found);
    team_ = TeamName();
}

} // namespace pimentostage

#include "src/daemon/ConfigPublisher.h"

#include "pimentostage/sibling/FanOut.h"

#include <algorithm>

namespace pimentostage {

namespace {

/// @return whether the hosts that write objects of @p kind send them to the others themselves.
bool isSentByItsWriter(ObjectKind kind)
{
    return kind == ObjectKind::Role || kind == ObjectKind::RangePlacement
           || kind == ObjectKind::EntryHost;
}

} // namespace

ConfigPublisher::ConfigPublisher(Member self, const ConfigState &config,
                                 const Membership &membership, SiblingSender &siblings,
                                 Random random)
    : self_(std::move(self))
    , config_(config)
    , membership_(membership)
    , siblings_(siblings)
    , random_(random)
{ }

void ConfigPublisher::publishRead(bool isReader)
{
    std::vector<StoredObject> changes = config_.changesSince(publishedUpTo_);
    for (const StoredObject &object : changes)
        publishedUpTo_ = std::max(publishedUpTo_, object.version_);
    if (!isReader)
        return;
    std::erase_if(changes,
                  [](const StoredObject &object) { return isSentByItsWriter(object.ref_.kind_); });
    publish(changes);
}

// The strongest hosts come first, in random order, so that a message does not take the same way
// each time.
void ConfigPublisher::publish(const std::vector<StoredObject> &objects)
{
    if (objects.empty())
        return;
    const std::vector<Member> strongest = membership_.strongest();
    std::vector<HostName> receivers;
    for (const Member &member : membership_.view()) {
        if (member != self_)
            receivers.push_back(member.host_);
    }
    std::shuffle(receivers.begin(), receivers.end(), random_.engine());
    const auto weak = std::partition(receivers.begin(), receivers.end(), [&](const HostName &host) {
        return std::any_of(strongest.begin(), strongest.end(),
                           [&](const Member &member) { return member.host_ == host; });
    });
    send(objects, receivers, static_cast<std::size_t>(weak - receivers.begin()));
}

void ConfigPublisher::passOn(const ConfigPush &push)
{
    for (const StoredObject &object : push.objects_)
        publishedUpTo_ = std::max(publishedUpTo_, object.version_);
    send(push.objects_, push.relayTo_, 0);
}

// Without a revision: the receiver may have missed earlier changes.
void ConfigPublisher::send(const std::vector<StoredObject> &objects,
                           const std::vector<HostName> &receivers, std::size_t strong)
{
    for (const FanOutBranch &branch : fanOut(receivers, strong))
        siblings_.send(branch.to_, ConfigPush { Version {}, objects, branch.relayTo_ });
}

} // namespace pimentostage

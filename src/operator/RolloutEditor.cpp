#include "pimentostage/operator/RolloutEditor.h"

#include "pimentostage/platform/CoordinationCodec.h"
#include "pimentostage/platform/ObjectCodec.h"

namespace pimentostage {

namespace {

std::string describe(const RolloutState &state)
{
    // After a roll-back hosts may use their last leases until the end is reported.
    const RolloutStatus status
        = state.isReported_ ? statusOf(state.phase_) : RolloutStatus::Running;
    std::string text = std::string(toString(status)) + ", phase "
                       + std::string(toString(state.phase_)) + ", target "
                       + state.rollout_.order_.target_;
    if (!state.versionInForce().empty())
        text += ", in force " + state.versionInForce();
    return text;
}

} // namespace

leaf::result<ChangeReport> startRollout(ConfigEditor &editor, const RolloutOrder &order,
                                        const std::string &id, std::optional<Version> expected)
{
    return editor.apply({ ObjectKind::Rollout, order.service_.str() }, formatRollout({ order, id }),
                        expected);
}

leaf::result<std::string> describeRollout(ConfigEditor &editor, const ServiceName &service)
{
    BOOST_LEAF_AUTO(order, editor.get({ ObjectKind::Rollout, service.str() }));
    BOOST_LEAF_AUTO(stored, editor.get({ ObjectKind::RolloutState, service.str() }));
    const std::string prefix = service.str() + ": ";
    std::optional<RolloutState> state;
    if (!stored.deleted_) {
        BOOST_LEAF_ASSIGN(state, parseRolloutState(service.str(), stored.value_));
    }
    if (order.deleted_)
        return prefix + (state ? "no order; last: " + describe(*state) : "no roll-out");
    BOOST_LEAF_AUTO(rollout, parseRollout(service.str(), order.value_));
    if (state && state->rollout_.isSameOrder(rollout))
        return prefix + describe(*state);
    return prefix + "ordered, target " + rollout.order_.target_ + ", not begun";
}

} // namespace pimentostage

#pragma once

#include "pimentostage/backend/WaitingRequest.h"
#include "pimentostage/base/EnumNames.h"
#include "pimentostage/base/Time.h"

#include <compare>
#include <cstdint>
#include <optional>

namespace pimentostage {

/// Which waiting request is served first when capacity is short.
enum class AdmissionRule {
    TeamShares, ///< teams by their shares, the requests of a team in order of arrival
    FirstCome,
    StrictPriority, ///< by priority, then in order of arrival
    LeastSlack, ///< by the time left before the request must start
    ValuePerWork, ///< by estimated value per second of work
    UrgencyThenSlack, ///< by priority, then as LeastSlack
};

template <>
struct EnumTable<AdmissionRule>
{
    static constexpr std::array kRows {
        EnumName<AdmissionRule> { AdmissionRule::TeamShares, "team-shares" },
        EnumName<AdmissionRule> { AdmissionRule::FirstCome, "first-come" },
        EnumName<AdmissionRule> { AdmissionRule::StrictPriority, "strict-priority" },
        EnumName<AdmissionRule> { AdmissionRule::LeastSlack, "least-slack" },
        EnumName<AdmissionRule> { AdmissionRule::ValuePerWork, "value-per-work" },
        EnumName<AdmissionRule> { AdmissionRule::UrgencyThenSlack, "urgency-then-slack" },
    };
};

/// The rule of catalogues without teams unless a setting says otherwise: it earned the most in
/// admission_bench (docs/design/admission.md).
inline constexpr AdmissionRule kRuleWithoutTeams = AdmissionRule::ValuePerWork;

/// @param setting rule that the operator chose; empty to choose by the catalogue.
/// @param hasTeams whether the catalogue has teams.
/// @return the rule by which requests wait.
AdmissionRule admissionRuleFor(const std::optional<AdmissionRule> &setting, bool hasTeams);

/// Position of a waiting request; a lower one is served first.
struct AdmissionRank
{
    std::uint32_t level_ = 0; ///< requests of a lower level always go first
    bool isLate_ = false; ///< its objective can no longer be met
    double key_ = 0;
    TimePoint since_;

    auto operator<=>(const AdmissionRank &) const = default;
};

/// Orders the waiting requests of one team.
class AdmissionOrder
{
public:
    virtual ~AdmissionOrder() = default;

    /// @return the position of @p request at @p now. Requests whose work is unknown are in order of
    ///         arrival within their priority.
    [[nodiscard]] virtual AdmissionRank rank(const WaitingRequest &request,
                                             TimePoint now) const = 0;
};

/// @return the order of @p rule; that of TeamShares is the order of arrival.
const AdmissionOrder &orderFor(AdmissionRule rule);

/// @return the value of an answer to @p request relative to others, estimated from its priority and
///         its team's share.
double estimatedValue(const WaitingRequest &request);

/// @return whether refusing @p a costs callers less than refusing @p b: a less urgent one first,
///         then the one with more work for its value, then the newer one.
bool isCheaperToRefuse(const WaitingRequest &a, const WaitingRequest &b);

} // namespace pimentostage

#pragma once

#include "pimentostage/platform/Configuration.h"

#include <map>

namespace pimentostage {

/// The back-end process that started last at each address.
///
/// An address is given to another process only after its former one has ended, while the entry of
/// the former one may remain in the store for seconds.
class LatestProcesses
{
public:
    /// A process at an address, and the service to which it belongs.
    struct Registration
    {
        BackendProcess process_;
        ServiceName service_;
    };

    LatestProcesses() = default;
    /// @param configuration its back ends count, except those of unknown services and those whose
    ///        start is not reported.
    explicit LatestProcesses(const Configuration &configuration);

    /// @param address at which @p process runs or has run.
    /// @return the later process that runs there in place of @p process, or nullptr if none is
    ///         known.
    [[nodiscard]] const Registration *replacementOf(const BackendProcess &process,
                                                    const Address &address) const;

private:
    std::map<Address, Registration> latest_;
};

} // namespace pimentostage

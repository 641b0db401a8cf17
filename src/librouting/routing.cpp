#include "librouting/routing.h"

namespace eelgrasslift {

std::string_view toString(NoTarget::Reason reason)
{
    switch (reason) {
    case NoTarget::Reason::UnknownModel:
        return "unknown-model";
    case NoTarget::Reason::AllLeaving:
        return "all-leaving";
    case NoTarget::Reason::AllExcluded:
        return "all-excluded";
    case NoTarget::Reason::AllEjected:
        return "all-ejected";
    case NoTarget::Reason::NoHeadroom:
        return "no-headroom";
    case NoTarget::Reason::NoIdleTarget:
        return "no-idle-target";
    }
    return "unknown";
}

} // namespace eelgrasslift

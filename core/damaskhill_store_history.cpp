// Index of this file:
// [SECTION] Position

#include "damaskhill_store_history.hpp"

namespace damaskhill {

//-----------------------------------------------------------------------------
// [SECTION] Position
//-----------------------------------------------------------------------------

std::string format_position(const store_position& position) {
    return std::to_string(position.era) + "/" + std::to_string(position.revision);
}

} // namespace damaskhill

// The difference between two texts: what is sent instead of a whole text to whoever holds the other one.
// Pure; time linear in the texts, memory bounded by a table of kMostBlocks entries beside the result.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace curlewdoor {

// Steps that make `target` out of `base`: literal bytes and copies of ranges of the base. nullopt where they
// would take `most` bytes or more: then the text itself is sent.
std::optional<std::string> MakeDelta(std::string_view base, std::string_view target, std::size_t most);

// What `delta` makes of `base`. nullopt where it isn't a delta, copies from beyond the base, or makes more
// than `most` bytes. Whether the result is the text that was meant is for the caller to check, by its digest.
std::optional<std::string> ApplyDelta(std::string_view base, std::string_view delta, std::size_t most);

}  // namespace curlewdoor

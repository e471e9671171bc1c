#include "coordination/command.hpp"

#include "coordination/command_fields.hpp"
#include "coordination/packing.hpp"

namespace curlewdoor::coordination {

std::string Encode(const Command& command) { return packing::Pack(command); }

std::optional<Command> DecodeCommand(std::string_view bytes) { return packing::Unpack<Command>(bytes); }

}  // namespace curlewdoor::coordination

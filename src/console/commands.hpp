// The commands, one function each, by what they are about. Each throws CommandError when it can't do it.
#pragma once

#include "console/session.hpp"

namespace curlewdoor::console {

// cluster_commands.cpp: what running gateways see.
void ShowCore(Session& session);
void ForgetInCore(Session& session);
void ShowHosts(Session& session);
void ShowTenant(Session& session);
void ShowGateways(Session& session);
void ShowFigures(Session& session);

// coordination_commands.cpp: locks, numbers, keys and watches, as an application calls for them.
void ShowCoordination(Session& session);
void BeginLock(Session& session);   // NAME HOLDER HOLD_MS
void RenewLock(Session& session);   // NAME HOLDER FENCE HOLD_MS
void FinishLock(Session& session);  // NAME HOLDER FENCE
void TakeNumber(Session& session);  // NAME
void ReadKey(Session& session);     // NAME
void PutKey(Session& session);      // NAME VALUE [REVISION]
void WatchGroup(Session& session);  // GROUP [AFTER [WAIT_MS]]

// config_commands.cpp: the operator's configuration, in force and in files.
void ShowConfig(Session& session);
void ShowConfigStatus(Session& session);
void PushConfig(Session& session);
void DiffConfig(Session& session);
void CheckConfig(Session& session);

// storage_commands.cpp: the disk of a stopped member.
void VerifyStorage(Session& session);
void DumpStorage(Session& session);

// local_commands.cpp: what needs neither a gateway nor a disk.
void ShowEvents(Session& session);
void CheckSettings(Session& session);
void ShowVersion(Session& session);

}  // namespace curlewdoor::console

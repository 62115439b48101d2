#include <array>
#include <vector>

#include "figmill/query.h"

namespace figmill::query {
namespace {

const std::array kJobColumns = {
    Column{"job", CellType::kText},       Column{"team", CellType::kText},
    Column{"state", CellType::kText},     Column{"due", CellType::kMoment},
    Column{"items", CellType::kInteger},  Column{"done", CellType::kInteger},
    Column{"failed", CellType::kInteger}, Column{"owner", CellType::kText},
};
const std::array kItemColumns = {
    Column{"item", CellType::kText},
    Column{"job", CellType::kText},
    Column{"state", CellType::kText},
    Column{"cause", CellType::kText},
};
const std::array kRefusalColumns = {
    Column{"at", CellType::kMoment},     Column{"entry", CellType::kText},
    Column{"service", CellType::kText},  Column{"team", CellType::kText},
    Column{"kind", CellType::kText},     Column{"ran", CellType::kText},
    Column{"count", CellType::kInteger}, Column{"cause", CellType::kText},
};
const std::array kHostColumns = {
    Column{"host", CellType::kText},        Column{"role", CellType::kText},
    Column{"data_centre", CellType::kText}, Column{"address", CellType::kText},
    Column{"state", CellType::kText},       Column{"leaving", CellType::kYesNo},
    Column{"drained", CellType::kYesNo},    Column{"sequence", CellType::kInteger},
    Column{"serves", CellType::kText},
};
const std::array kServiceColumns = {
    Column{"service", CellType::kText},       Column{"kind", CellType::kText},
    Column{"repeatable", CellType::kYesNo},   Column{"first_token", CellType::kDuration},
    Column{"token_gap", CellType::kDuration}, Column{"deadline", CellType::kDuration},
    Column{"backends", CellType::kInteger},   Column{"routes", CellType::kText},
};
const std::array kConfigColumns = {
    Column{"path", CellType::kText},
    Column{"value", CellType::kText},
};
const std::array kLogColumns = {
    Column{"sequence", CellType::kInteger},
    Column{"by", CellType::kText},
    Column{"change", CellType::kText},
};
const std::array kLimitColumns = {
    Column{"team", CellType::kText},
    Column{"requests", CellType::kNumber},
    Column{"tokens", CellType::kNumber},
    Column{"burst", CellType::kDuration},
};
const std::array kPlacementColumns = {
    Column{"host", CellType::kText},    Column{"kind", CellType::kText},
    Column{"name", CellType::kText},    Column{"version", CellType::kText},
    Column{"wanted", CellType::kYesNo}, Column{"sequence", CellType::kInteger},
};

const std::vector<StatementHelp> kHelp = {
    StatementHelp{"show jobs", "batch jobs and how far they are",
                  "show jobs where team = \"harbour\" and state = running order by due limit 20"},
    StatementHelp{"show items [of JOB]", "items of a job, or keyed items outside jobs",
                  "show items of site-report-7 where state = failed"},
    StatementHelp{"show refusals [since DURATION]", "what was refused, why, and whether it ran",
                  "show refusals since 10m where kind = overloaded"},
    StatementHelp{"show hosts", "figmill's processes and the orders each runs on",
                  "show hosts where role = agent and leaving = no order by sequence desc"},
    StatementHelp{"show services", "services and their settings", "show services"},
    StatementHelp{"show config [at VERSION]", "the whole configuration, one value a row",
                  "show config at 812"},
    StatementHelp{"show log [since VERSION]", "changes in the order they were accepted",
                  "show log since 800"},
    StatementHelp{"show limits", "limits of teams", "show limits where requests > 100"},
    StatementHelp{"show placement", "models, adapters and roles wanted on each host",
                  "show placement where host = agent-3"},
    StatementHelp{"create service NAME kind model|plain [SETTING ...]", "a new service",
                  "create service note-llm kind model first_token 840ms token_gap 61ms"},
    StatementHelp{"set service NAME SETTING ...",
                  "repeatable true|false, first_token, token_gap and deadline with a duration, "
                  "route \"/path\" repeatable true|false",
                  "set service field-app route \"/invoices\" repeatable false"},
    StatementHelp{"remove service NAME", "a service that nothing serves any more",
                  "remove service field-app"},
    StatementHelp{"set limit team TEAM [requests N] [tokens N] [burst DURATION]",
                  "rates a second over the whole fleet; 0 is unlimited",
                  "set limit team \"harbour\" requests 10 tokens 5000 burst 2s"},
    StatementHelp{"set backend NODE [serves NAME, ...] [fencing true|false]",
                  "what the backend server beside an agent serves, and whether it checks fencing",
                  "set backend agent-3 serves note-llm, crop-llm fencing false"},
    StatementHelp{"remove backend NODE", "forgets a backend server", "remove backend agent-3"},
    StatementHelp{"drain NODE", "no new work for it; what runs there finishes", "drain agent-3"},
    StatementHelp{"undrain NODE", "takes new work again", "undrain agent-3 if version 812"},
    StatementHelp{"cancel job JOB", "stops a job; its finished results stay",
                  "cancel job site-report-7"},
    StatementHelp{"load [adapter] NAME@VERSION on NODE", "wants a model or adapter on an engine",
                  "load note-llm@3 on agent-3"},
    StatementHelp{"unload [adapter] NAME@VERSION on NODE", "no longer wants it there",
                  "unload adapter rye@12 on agent-3"},
    StatementHelp{"role NODE ROLE", "wants an engine in a role", "role agent-3 prefill"},
    StatementHelp{"await VERSION", "waits until a change is in force everywhere", "await 815"},
    StatementHelp{"help [WORD]", "the statements, or those that start with a word", "help show"},
};

}  // namespace

std::span<const Column> ColumnsOf(const Question& question) {
  using Columns = std::span<const Column>;
  return std::visit(Overloaded{
                        [](const ShowJobs&) -> Columns { return kJobColumns; },
                        [](const ShowItems&) -> Columns { return kItemColumns; },
                        [](const ShowRefusals&) -> Columns { return kRefusalColumns; },
                        [](const ShowHosts&) -> Columns { return kHostColumns; },
                        [](const ShowServices&) -> Columns { return kServiceColumns; },
                        [](const ShowConfig&) -> Columns { return kConfigColumns; },
                        [](const ShowLog&) -> Columns { return kLogColumns; },
                        [](const ShowLimits&) -> Columns { return kLimitColumns; },
                        [](const ShowPlacement&) -> Columns { return kPlacementColumns; },
                    },
                    question);
}

std::span<const StatementHelp> StatementsHelp() {
  return kHelp;
}

}  // namespace figmill::query

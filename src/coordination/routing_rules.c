#include "internal/routing_rules.h"

AprRoutingRules_t apr_routing_rules = {true, true, true, true,
                                       true, true, true, true};

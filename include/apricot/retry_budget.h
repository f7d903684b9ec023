#ifndef APRICOT_RETRY_BUDGET_H
#define APRICOT_RETRY_BUDGET_H

#include <stdbool.h>

/* Each first attempt earns a tenth of a retry; at most ten are saved. */
typedef struct AprRetryBudget_t {
    double tokens;
} AprRetryBudget_t;

void AprRetryBudget_Init(AprRetryBudget_t *budget);
void AprRetryBudget_Earn(AprRetryBudget_t *budget);
bool AprRetryBudget_Spend(AprRetryBudget_t *budget);

#endif

#ifndef APRICOT_RETRY_BUDGET_H
#define APRICOT_RETRY_BUDGET_H

#include <stdbool.h>

/* By default each first attempt earns a tenth of a retry, and at most ten are
   saved. */
typedef struct AprRetryBudget_t {
    double tokens;
    double earned; /* by each first attempt */
    double most;   /* that are saved */
} AprRetryBudget_t;

void AprRetryBudget_Init(AprRetryBudget_t *budget);
void AprRetryBudget_Configure(AprRetryBudget_t *budget, double earned,
                              double most);
void AprRetryBudget_Earn(AprRetryBudget_t *budget);
bool AprRetryBudget_Spend(AprRetryBudget_t *budget);

#endif

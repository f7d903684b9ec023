#include "apricot/retry_budget.h"

#define MAX_RETRIES 10.0
#define EARNED_PER_ATTEMPT 0.1

/* Ten additions of 0.1 give slightly less than 1 in binary. */
#define ROUNDING 1e-9

/* Starts with a full balance, so that the first failures after a start can
   still be retried. */
void
AprRetryBudget_Init(AprRetryBudget_t *budget)
{
    budget->tokens = MAX_RETRIES;
    budget->earned = EARNED_PER_ATTEMPT;
    budget->most = MAX_RETRIES;
}

/* Sets what a first attempt earns and how many retries are saved. */
void
AprRetryBudget_Configure(AprRetryBudget_t *budget, double earned, double most)
{
    budget->earned = earned;
    budget->most = most;
    if (budget->tokens > most) {
        budget->tokens = most;
    }
}

/* Counts a first attempt. */
void
AprRetryBudget_Earn(AprRetryBudget_t *budget)
{
    budget->tokens += budget->earned;
    if (budget->tokens > budget->most) {
        budget->tokens = budget->most;
    }
}

/* Pays for one retry. Returns false when the balance does not allow it. */
bool
AprRetryBudget_Spend(AprRetryBudget_t *budget)
{
    if (budget->tokens < 1 - ROUNDING) {
        return false;
    }
    budget->tokens -= 1;
    return true;
}

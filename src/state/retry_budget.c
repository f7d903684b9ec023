#include "apricot/retry_budget.h"

#define DEFAULT_MAX_TOKENS 10.0
#define DEFAULT_TOKENS_PER_ATTEMPT 0.1

/* Ten additions of 0.1 give slightly less than 1 in binary floating point. */
#define ROUNDING_TOLERANCE 1e-9

/* Initializes a budget with the default limits and the maximum number of
   tokens, so that failures just after a start can be retried. */
void
AprRetryBudget_Init(AprRetryBudget_t *budget)
{
    budget->tokens = DEFAULT_MAX_TOKENS;
    budget->tokens_per_attempt = DEFAULT_TOKENS_PER_ATTEMPT;
    budget->max_tokens = DEFAULT_MAX_TOKENS;
}

/* Sets the tokens that a first attempt adds and the maximum number of tokens.
   Tokens above the new maximum are removed. */
void
AprRetryBudget_Configure(AprRetryBudget_t *budget, double tokens_per_attempt,
                         double max_tokens)
{
    budget->tokens_per_attempt = tokens_per_attempt;
    budget->max_tokens = max_tokens;
    if (budget->tokens > max_tokens) {
        budget->tokens = max_tokens;
    }
}

/* Adds the tokens of one first attempt. */
void
AprRetryBudget_Deposit(AprRetryBudget_t *budget)
{
    budget->tokens += budget->tokens_per_attempt;
    if (budget->tokens > budget->max_tokens) {
        budget->tokens = budget->max_tokens;
    }
}

/* Returns whether there is a token for one retry. */
bool
AprRetryBudget_MayWithdraw(const AprRetryBudget_t *budget)
{
    return budget->tokens >= 1 - ROUNDING_TOLERANCE;
}

/* Takes the token of one retry. Returns false when there is less than one
   token; the retry is then not allowed. */
bool
AprRetryBudget_TryWithdraw(AprRetryBudget_t *budget)
{
    if (!AprRetryBudget_MayWithdraw(budget)) {
        return false;
    }
    budget->tokens -= 1;
    return true;
}

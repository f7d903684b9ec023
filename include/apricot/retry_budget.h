#ifndef APRICOT_RETRY_BUDGET_H
#define APRICOT_RETRY_BUDGET_H

#include <stdbool.h>

/* Limits retries to a fraction of the first attempts. A retry costs one token.
   By default each first attempt adds 0.1 token, and at most 10 are kept. */
typedef struct AprRetryBudget_t {
    double tokens;
    double tokens_per_attempt; /* added by each first attempt */
    double max_tokens;         /* limit of `tokens` */
} AprRetryBudget_t;

void AprRetryBudget_Init(AprRetryBudget_t *budget);
void AprRetryBudget_Configure(AprRetryBudget_t *budget,
                              double tokens_per_attempt, double max_tokens);
void AprRetryBudget_Deposit(AprRetryBudget_t *budget);
bool AprRetryBudget_MayWithdraw(const AprRetryBudget_t *budget);
bool AprRetryBudget_TryWithdraw(AprRetryBudget_t *budget);

#endif

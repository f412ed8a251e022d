/** Maximum time an admitted request waits for its organisation's next token. */
export const LONGEST_TOKEN_WAIT_MILLISECONDS = 300;

const FIRST_FINAL_STATUS = 200;
const LAST_FINAL_STATUS = 599;

/** Whether a status code belongs to a final response. Others are sent by failing targets. */
export const isFinalStatus = (status: number): boolean =>
  status >= FIRST_FINAL_STATUS && status <= LAST_FINAL_STATUS;

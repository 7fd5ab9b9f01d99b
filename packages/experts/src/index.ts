export const todo = 1;

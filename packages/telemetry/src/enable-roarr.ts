import process from 'node:process';
// Roarr reads this variable when it is first imported, so this module must be imported before Roarr.
process.env.ROARR_LOG ??= 'true';


/** Exit codes of all commands. */
export const exitCodes = {
	success: 0,
	/** The command line is valid, but the command failed. */
	failure: 1,
	/** A command or option is unknown or missing. */
	usage: 2,
	/** A settings or configuration file is invalid. */
	invalidSettings: 3,
	/** Another configuration change was accepted first. */
	conflict: 4,
} as const;

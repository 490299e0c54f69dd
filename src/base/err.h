/** @file Error numbers, which are negative, and their names. */
#ifndef ERR_H
#define ERR_H

enum cc_err {
	CC_OK = 0,
	CC_ETIMEOUT = -1,  /**< no answer in time; may have taken effect */
	CC_ECONN = -2,	   /**< connection lost; may have taken effect */
	CC_ENOTSENT = -3,  /**< nothing was sent, so nothing took effect */
	CC_ECONFLICT = -4, /**< a condition of the write did not hold */
	CC_EPROTO = -5,	   /**< the answer could not be parsed */
	CC_ENOTOWNER = -6, /**< this host does not own the shard */
	CC_EINVAL = -7,	   /**< invalid input */
	CC_ENOENT = -8,	   /**< not found */
	CC_EBUSY = -9,	   /**< not possible now; try again later */
	CC_EUNAVAIL = -10, /**< the platform's store is unavailable */
	CC_ERATE = -11,	   /**< beyond the client account's rate; not done */
	CC_EPERM = -12,	   /**< it belongs to another client account */
};

/** Name of an error number, for log lines. */
const char *cc_strerror(int e);

#endif
